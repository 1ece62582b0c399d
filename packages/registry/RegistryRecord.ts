import type { TargetRecord } from "./TargetRecord";

/** A target record with the registry's metadata. */
export interface RegistryRecord {
  readonly target: TargetRecord;
  /** Time at which any coordinator last received a heartbeat of the target, in this process's clock. */
  readonly lastSeenAtMs: number;
  /** Coordinator that forwarded the last update; null if the target sent it to this process. */
  readonly via: string | null;
  /** Number of the registry change that produced the current state of the record. */
  readonly changeNumber: number;
  /** Whether the target has timed out and sent no heartbeat since, so that it is not listed to gateways. */
  readonly isSilent: boolean;
}
