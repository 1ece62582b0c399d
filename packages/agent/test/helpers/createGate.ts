import { TargetKind } from "@clementinemux/common/TargetKind";
import { AdmissionGate } from "@clementinemux/agent/AdmissionGate";
import { ConfigView } from "@clementinemux/agent/ConfigView";

/** Creates the admission gate of one agent process and its view of the configuration. */
export function createGate(incarnation: string): { gate: AdmissionGate; view: ConfigView } {
  const view = new ConfigView({ target: "runner-1", kind: TargetKind.Engine, service: "" });
  return { gate: new AdmissionGate(incarnation, view), view };
}
