import type { TargetRecord } from "./TargetRecord";

/** A record with the registry's own bookkeeping. */
export interface RegistryRecord {
  readonly target: TargetRecord;
  /** When any coordinator last heard the target, by this process's clock. */
  readonly heardAtMs: number;
  /** Coordinator that passed on the last news; null when the target itself called. */
  readonly via: string | null;
  /** Change of this registry that brought the record into its present state. */
  readonly changedAt: number;
  /** Whether the target was found silent and has not been heard since, so that gateways are not told of it. */
  readonly isSilent: boolean;
}
