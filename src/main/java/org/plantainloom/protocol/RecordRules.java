package org.plantainloom.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.deser.BeanDeserializerModifier;
import com.fasterxml.jackson.databind.deser.std.DelegatingDeserializer;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.plantainloom.coordination.plan.Route;
import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.protocol.message.StoreRevision;
import org.plantainloom.protocol.message.StoreValue;
import org.plantainloom.state.BatchJobProgress;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.Names;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.Release;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;

/** Rejects decoded records whose values no process writes, such as a port out of range. */
final class RecordRules extends BeanDeserializerModifier {
  private static final long serialVersionUID = 1L;

  /** Largest epoch, revision or version; larger ones leave too little room to count on. */
  private static final long MAX_COUNTER = Long.MAX_VALUE / 2;

  /** Largest number of tasks of a job or service; the planner keeps a record of each in memory. */
  private static final int MAX_TASKS = 100_000;

  private static final int MAX_PERCENT = 100;
  private static final int MAX_PORT = 65_535;
  private static final Pattern ADDRESS =
      Pattern.compile("(?:[A-Za-z0-9._-]+|\\[[0-9A-Fa-f:.]+]):([0-9]{1,5})");

  private static final Map<Class<?>, Predicate<Object>> RULES = rules();

  private static Map<Class<?>, Predicate<Object>> rules() {
    Map<Class<?>, Predicate<Object>> rules = new HashMap<>();
    addRecordsInStore(rules);
    addDocuments(rules);
    addMessages(rules);
    return rules;
  }

  private static void addRecordsInStore(Map<Class<?>, Predicate<Object>> rules) {
    add(rules, MemberRecord.class, member -> isAddress(member.address()));
    add(rules, PlannerRecord.class, planner -> isCounter(planner.epoch()));
    add(rules, ConfigIndex.class, index -> isCounter(index.revision()));
    add(
        rules,
        RackRecord.class,
        rack ->
            isCounter(rack.epoch())
                && isCounter(rack.plannerEpoch())
                && rack.renewalHorizonMs() >= 0);
    add(
        rules,
        Commitment.class,
        commitment -> commitment.generation() >= 0 && commitment.checkpoint() >= 0);
    add(rules, Release.class, release -> release.checkpoint() >= 0);
    add(rules, TaskRef.class, ref -> ref.incarnation() >= 0);
    add(rules, ResourceVector.class, ResourceVector::isNonNegative);
    add(
        rules,
        TaskLaunch.class,
        launch -> launch.runMs() >= 0 && isPercent(launch.maxThrottlePercent()));
  }

  private static void addDocuments(Map<Class<?>, Predicate<Object>> rules) {
    add(
        rules,
        TasksDocument.class,
        document ->
            isCounter(document.plannerEpoch())
                && document.tasks().stream().allMatch(t -> t.id().team().equals(document.team())));
    add(
        rules,
        TaskRecord.class,
        task ->
            task.incarnation() >= 0
                && task.incarnation() < Integer.MAX_VALUE
                && task.failures() >= 0
                && task.failures() < Integer.MAX_VALUE
                && task.checkpoint() >= 0
                && (task.phase() != TaskPhase.BOUND
                    || (task.rack().isPresent() && task.worker().isPresent())));
    add(
        rules,
        BatchJobProgress.class,
        job ->
            Names.isName(job.job())
                && job.tasks() >= 0
                && job.finished() >= 0
                && job.cancelled() >= 0);
    add(
        rules,
        BatchJobSpec.class,
        job ->
            Names.isName(job.name())
                && job.tasks() >= 0
                && job.tasks() <= MAX_TASKS
                && job.runMs() >= 0
                && isPercent(job.maxThrottlePercent()));
    add(
        rules,
        ServiceSpec.class,
        service ->
            Names.isName(service.name())
                && service.replicas() >= 0
                && service.replicas() <= MAX_TASKS
                && isPercent(service.survivingPercent()));
  }

  private static void addMessages(Map<Class<?>, Predicate<Object>> rules) {
    add(
        rules,
        WorkerInfo.class,
        worker ->
            isAddress(worker.address())
                && worker.generation() >= 0
                && worker.slots() >= 0
                && worker.connections() >= 0);
    add(
        rules,
        WorkerReport.class,
        report -> report.generation() >= 0 && report.fencingEpoch() >= 0);
    add(rules, TaskReport.class, report -> report.checkpoint() >= 0);
    add(
        rules,
        RackPlan.class,
        plan ->
            isCounter(plan.plannerEpoch())
                && isCounter(plan.rackEpoch())
                && isCounter(plan.sequence()));
    add(
        rules,
        RackStatus.class,
        status ->
            isCounter(status.rackEpoch())
                && isCounter(status.base())
                && isCounter(status.version()));
    add(
        rules,
        RouteTable.class,
        table -> isCounter(table.plannerEpoch()) && isCounter(table.version()));
    add(rules, Route.class, route -> isAddress(route.address()) && route.slots() >= 0);
    add(rules, StoreValue.class, value -> value.revision() >= 0);
    add(rules, StoreEntry.class, entry -> entry.revision() >= 0);
    add(rules, StoreRevision.class, revision -> revision.revision() >= 0);
  }

  private static <T> void add(
      Map<Class<?>, Predicate<Object>> rules, Class<T> type, Predicate<T> rule) {
    rules.put(type, value -> rule.test(type.cast(value)));
  }

  private static boolean isCounter(long value) {
    return value >= 0 && value <= MAX_COUNTER;
  }

  private static boolean isPercent(int value) {
    return value >= 0 && value <= MAX_PERCENT;
  }

  private static boolean isAddress(String value) {
    Matcher matcher = ADDRESS.matcher(value);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group(1));
    return port > 0 && port <= MAX_PORT;
  }

  @Override
  public JsonDeserializer<?> modifyDeserializer(
      DeserializationConfig config, BeanDescription description, JsonDeserializer<?> deserializer) {
    Class<?> type = description.getBeanClass();
    return RULES.containsKey(type) ? new Checked(deserializer, type) : deserializer;
  }

  private static final class Checked extends DelegatingDeserializer {
    private static final long serialVersionUID = 1L;

    private final Class<?> type;

    Checked(JsonDeserializer<?> delegate, Class<?> type) {
      super(delegate);
      this.type = type;
    }

    @Override
    protected JsonDeserializer<?> newDelegatingInstance(JsonDeserializer<?> newDelegate) {
      return new Checked(newDelegate, type);
    }

    @Override
    public Object deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      Object value = super.deserialize(parser, context);
      if (value == null || !RULES.get(type).test(value)) {
        return context.reportInputMismatch(
            this, "a value of %s is out of range", type.getSimpleName());
      }
      return value;
    }
  }
}
