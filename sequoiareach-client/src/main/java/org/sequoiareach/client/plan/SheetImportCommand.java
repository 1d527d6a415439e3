package org.sequoiareach.client.plan;

import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.Documents;
import org.sequoiareach.client.command.JsonText;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetReader;

/** Turns the planners' CSV file into a sheet file. */
public final class SheetImportCommand extends AbstractCommand {

  private static final Sheet EMPTY = new Sheet(0, List.of(), List.of(), List.of());

  @Argument(metaVar = "PLAN.csv", required = true, usage = "the planners' file")
  private Path file;

  @Option(name = "--out", metaVar = "FILE", required = true, usage = "the new sheet file")
  private Path out;

  @Option(
      name = "--catalogue",
      metaVar = "FILE",
      usage = "a sheet file that prices, services and the base version are taken from")
  private Path catalogueFile;

  @Override
  public CommandResult run() {
    Sheet catalogue =
        catalogueFile == null
            ? EMPTY
            : Documents.read("catalogue", catalogueFile, SheetReader::read);
    String text =
        Documents.read(
            "plan",
            file,
            csv -> {
              Sheet sheet = PlanSheetBuilder.build(PlanCsvReader.read(csv), catalogue);
              String json = JsonText.of(sheet) + "\n";
              // The published schema has the last word on what an export would accept.
              SheetReader.read(json);
              return json;
            });
    Documents.write(out, text);
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

  /** Tells what was written. */
  private record Imported(
      String file, int organisations, int models, List<String> modelsWithoutPrice)
      implements CommandResult {

    @Override
    public String text() {
      String written =
          file + " holds " + organisations + " organisations and " + models + " models.";
      return modelsWithoutPrice.isEmpty()
          ? written
          : written + "\nWithout a price: " + String.join(", ", modelsWithoutPrice) + ".";
    }
  }
}
