package org.plantainloom.protocol.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.plantainloom.coordination.config.DisturbanceTolerance;
import org.plantainloom.coordination.config.FailureDomain;
import org.plantainloom.coordination.config.Questionnaire;
import org.plantainloom.coordination.config.Questionnaire.BatchAnswers;
import org.plantainloom.coordination.config.Questionnaire.ServiceAnswers;
import org.plantainloom.state.TeamId;

/** Reads a team's questionnaire and reports every mistake in it. */
public final class QuestionnaireReader {
  private static final int MAX_CORES = 100_000;
  private static final int MAX_MEMORY_GB = 1_000_000;
  private static final int MAX_ACCELERATORS = 10_000;
  private static final int MAX_REQUESTS_PER_SECOND = 1_000_000;
  private static final int MAX_MS = 600_000;
  private static final int MAX_PARALLEL = 1_000;
  private static final double MAX_MINUTES = 10_080;

  private QuestionnaireReader() {}

  /**
   * Reads a questionnaire.
   *
   * @param file the document's name, for messages
   * @param text the document
   * @throws InvalidDocumentException if it has any mistake; carries all of them
   */
  public static Questionnaire read(String file, String text) throws InvalidDocumentException {
    DocumentReader root = DocumentReader.parse(file, text);
    TeamId team = new TeamId(root.name("team"));
    DocumentReader quota = root.object("quota");
    int cores = quota.integer("cores", 0, MAX_CORES);
    int memoryGb = quota.integer("memoryGb", 0, MAX_MEMORY_GB);
    int accelerators = quota.integer("accelerators", 0, MAX_ACCELERATORS, 0);
    Set<String> names = new HashSet<>();
    List<ServiceAnswers> services = new ArrayList<>();
    for (DocumentReader service : root.objects("services")) {
      services.add(service(service, names));
    }
    List<BatchAnswers> kinds = new ArrayList<>();
    for (DocumentReader kind : root.objects("batchKinds")) {
      kinds.add(batchKind(kind, names));
    }
    root.finish();
    return new Questionnaire(team, cores, memoryGb, accelerators, services, kinds);
  }

  private static ServiceAnswers service(DocumentReader reader, Set<String> names) {
    return new ServiceAnswers(
        uniqueName(reader, names),
        reader.integer("peakRequestsPerSecond", 1, MAX_REQUESTS_PER_SECOND),
        reader.integer("requestMs", 1, MAX_MS),
        reader.integer("tailMs", 1, MAX_MS),
        reader.integer("parallelRequests", 1, MAX_PARALLEL),
        SizeReader.read(reader),
        reader.enumConstant("survives", FailureDomain.class));
  }

  private static BatchAnswers batchKind(DocumentReader reader, Set<String> names) {
    return new BatchAnswers(
        uniqueName(reader, names),
        SizeReader.read(reader),
        reader.decimal("runMinutes", 0.001, MAX_MINUTES),
        reader.enumConstant("disturbance", DisturbanceTolerance.class));
  }

  private static String uniqueName(DocumentReader reader, Set<String> names) {
    String name = reader.name("name");
    if (!names.add(name)) {
      reader.addProblem("name", "a name used once in the questionnaire", "\"" + name + "\" again");
    }
    return name;
  }
}
