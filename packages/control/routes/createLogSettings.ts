import { ControlSettings } from "../ControlSettings";
import type { CoordinatorOptions } from "./CoordinatorOptions";

/** Settings of the replicated log that a coordinator holds. */
export function createLogSettings({ name, host, framePort, seeds, isBootstrap }: CoordinatorOptions) {
  const own = `${host}:${framePort}`;
  return ControlSettings.parse({
    name,
    host,
    port: framePort,
    failureDomain: name,
    region: name,
    replicas: seeds.length === 0 ? [own] : seeds,
    bootstrap: isBootstrap,
    electionTimeoutMs: 500,
    heartbeatMs: 80,
    snapshotEntries: 200,
  });
}
