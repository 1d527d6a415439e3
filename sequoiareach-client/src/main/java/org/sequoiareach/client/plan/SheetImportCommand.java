package org.sequoiareach.client.plan;

import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandFiles;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.JsonText;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetReader;

/** Converts a plan CSV file to a sheet file. */
public final class SheetImportCommand extends AbstractCommand {

  private static final Sheet EMPTY = new Sheet(0, List.of(), List.of(), List.of());

  @Argument(metaVar = "PLAN.csv", required = true, usage = "the plan CSV file")
  private Path file;

  @Option(name = "--out", metaVar = "FILE", required = true, usage = "the sheet file to create")
  private Path out;

  @Option(
      name = "--catalogue",
      metaVar = "FILE",
      usage = "a sheet file that provides prices, services and the base version")
  private Path catalogueFile;

  @Override
  public CommandResult run() {
    Sheet catalogue =
        catalogueFile == null
            ? EMPTY
            : CommandFiles.read("catalogue", catalogueFile, SheetReader::read);
    String text =
        CommandFiles.read(
            "plan",
            file,
            csv -> {
              Sheet sheet = PlanSheetBuilder.build(PlanCsvReader.read(csv), catalogue);
              String json = JsonText.of(sheet) + "\n";
              // Validates against the published schema, which an export enforces.
              SheetReader.read(json);
              return json;
            });
    CommandFiles.write(out, text);
    Sheet sheet = SheetReader.read(text);
    return new Imported(
        out.toString(),
        sheet.organisations().size(),
        sheet.models().size(),
        sheet.models().stream()
            .filter(model -> catalogue.findModel(model.name()).isEmpty())
            .map(model -> model.name())
            .toList());
  }

  /** Counts of the entries written, and the models missing from the catalogue. */
  private record Imported(
      String file, int organisations, int models, List<String> modelsWithoutPrice)
      implements CommandResult {

    @Override
    public String text() {
      String written =
          "Wrote " + file + " with " + organisations + " organisations and " + models + " models.";
      return modelsWithoutPrice.isEmpty()
          ? written
          : written + "\nModels without a price: " + String.join(", ", modelsWithoutPrice) + ".";
    }
  }
}
