package org.plantainloom.protocol;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import java.util.Optional;
import java.util.Set;
import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.protocol.message.StoreValue;
import org.plantainloom.state.RackRecord;

/**
 * Requires every component of the records of some packages, unless it is an {@link Optional}.
 *
 * <p>Jackson would otherwise fill a missing component with null or 0, and the error would come
 * later and again in each round, where it keeps the intact records from being used.
 */
final class RequiredComponents extends JacksonAnnotationIntrospector {
  private static final long serialVersionUID = 1L;

  private static final Set<String> PACKAGES =
      Set.of(
          RackRecord.class.getPackageName(),
          RackPlan.class.getPackageName(),
          RouteTable.class.getPackageName(),
          StoreValue.class.getPackageName());

  @Override
  public Boolean hasRequiredMarker(AnnotatedMember member) {
    return isRequired(member) ? Boolean.TRUE : super.hasRequiredMarker(member);
  }

  @Override
  public JsonSetter.Value findSetterInfo(Annotated annotated) {
    return annotated instanceof AnnotatedMember member && isRequired(member)
        ? JsonSetter.Value.forValueNulls(Nulls.FAIL, Nulls.FAIL)
        : super.findSetterInfo(annotated);
  }

  private static boolean isRequired(AnnotatedMember member) {
    Class<?> owner = member.getDeclaringClass();
    return owner.isRecord()
        && PACKAGES.contains(owner.getPackageName())
        && member.getRawType() != Optional.class;
  }
}
