package org.sequoiareach.client.plan;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.model.json.FieldError;
import org.sequoiareach.model.json.InvalidDocumentException;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.Sheet;

class PlanCsvTest {

  private static final String HEADING = String.join(",", PlanColumn.labels()) + "\n";
  private static final String DIGEST = "sha256:" + "a".repeat(64);
  private static final String LINE =
      "techos-brno," + DIGEST + ",5,contract-70b,v1,32768,100,200,10,20,\n";
  private static final Sheet CATALOGUE =
      new Sheet(
          7, List.of(new ModelEntry("contract-70b", "v0", 1, 0.6, 1.8)), List.of(), List.of());

  @Test
  void rowsOfOneOrganisationAreSummed() {
    String second = LINE.replace("contract-70b,v1", "tag-7b,v3");
    Sheet sheet = build("\uFEFF" + HEADING + LINE + "\n" + second);
    OrganisationEntry organisation = sheet.organisations().get(0);
    assertThat(sheet.version()).isEqualTo(7);
    assertThat(organisation.models()).containsExactly("contract-70b", "tag-7b");
    assertThat(organisation.plan().promptTokensPerDay()).isEqualTo(200);
    assertThat(sheet.findModel("contract-70b").orElseThrow().promptPricePerMillion())
        .isEqualTo(0.6);
  }

  @ParameterizedTest
  @CsvSource({
    "techos-brno,Techos Brno,organisation",
    ",5,",
    "contract-70b,,model",
    "32768,0,context_tokens",
    "32768,99999999,context_tokens",
    "200,-1,completion_tokens_per_day",
    "200,1e9,completion_tokens_per_day"
  })
  void invalidCellIsReportedWithLineAndColumn(String from, String to, String column) {
    if (from == null) {
      return;
    }
    String wrong = LINE.replace("," + from + ",", "," + (to == null ? "" : to) + ",");
    wrong = from.equals("techos-brno") ? LINE.replace(from, to) : wrong;
    List<FieldError> errors = errorsOf(HEADING + LINE.replace("techos", "other") + wrong);
    assertThat(errors).hasSize(1);
    assertThat(errors.get(0).path()).isEqualTo("line 3, column " + column);
    assertThat(errors.get(0).value()).isEqualTo("'" + (to == null ? "" : to) + "'");
    assertThat(errors.get(0).expected()).startsWith("expected ");
  }

  @Test
  void allInvalidCellsAreReportedAtOnce() {
    String wrong = "Bad Name,nothing,0,,v1,x,1,2,0,0,a b\n";
    assertThat(errorsOf(HEADING + wrong + LINE + wrong)).hasSize(16);
  }

  @Test
  void contradictingRowsAreReported() {
    String other =
        LINE.replace(",5,contract-70b,v1", ",6,contract-70b,v2").replace(",20,", ",20,dispatch");
    assertThat(errorsOf(HEADING + LINE + other).stream().map(FieldError::path))
        .containsExactlyInAnyOrder(
            "line 3, column priority",
            "line 3, column model_version",
            "line 3, column model",
            "line 3, column services",
            "line 3, column services");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "''|the file contains no organisations",
        "organisation,priority|column 'key_digest' is missing",
        "organisation,organisation|unknown or duplicate column",
        "'\"unclosed'|not CSV"
      })
  void invalidFileIsRejected(String text, String expected) {
    assertThat(errorsOf(text)).anySatisfy(e -> assertThat(e.toString()).contains(expected));
  }

  private static Sheet build(String text) {
    return PlanSheetBuilder.build(PlanCsvReader.read(text), CATALOGUE);
  }

  private static List<FieldError> errorsOf(String text) {
    InvalidDocumentException e =
        catchThrowableOfType(InvalidDocumentException.class, () -> build(text));
    assertThat(e).isNotNull();
    return e.errors();
  }
}
