package org.plantainloom.program.gateway;

import org.plantainloom.coordination.routing.SlotSharingPolicy;
import org.plantainloom.program.CommonSettings;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;
import org.plantainloom.state.ZoneName;

/**
 * Settings of a gateway.
 *
 * @param common what every program has
 * @param zone availability zone of the VM
 * @param region region of the VM
 * @param store host and port of the platform's key-value service
 * @param limits how workers' slots are shared among gateways
 */
record GatewaySettings(
    CommonSettings common, ZoneName zone, String region, String store, SlotSharingPolicy limits) {

  static GatewaySettings read(DocumentReader root) throws InvalidDocumentException {
    GatewaySettings settings =
        new GatewaySettings(
            CommonSettings.read(root),
            new ZoneName(root.name("zone")),
            root.name("region"),
            root.text("store"),
            root.has("limits")
                ? root.enumConstant("limits", SlotSharingPolicy.class)
                : SlotSharingPolicy.BORROWING);
    root.finish();
    return settings;
  }
}
