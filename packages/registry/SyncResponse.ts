import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import type { EvacuatedDomains } from "./EvacuatedDomains";
import type { ColdTarget } from "./ColdTarget";
import type { TargetIncarnation } from "./TargetIncarnation";
import type { TargetLimit } from "./TargetLimit";
import type { TargetRecord } from "./TargetRecord";
import type { WaitingDemand } from "./WaitingDemand";

/** The state that a gateway lacks, and the age of its confirmation. */
export interface SyncResponse {
  /** Age in ms of the confirmation that no newer document exists; null if there is none. */
  readonly ageMs: number | null;
  readonly documentVersion: number;
  /** Encoded document; null if the gateway has it already, or has to fetch it in parts. */
  readonly document: Uint8Array | null;
  readonly registryState: string;
  /**
   * All targets; while the list is incomplete, also those that have unregistered. Null if the gateway has the
   * list already.
   */
  readonly targets: readonly TargetRecord[] | null;
  /** Incarnations that have unregistered lately, sent with `targets`. Missing from coordinators of earlier releases. */
  readonly ended?: readonly TargetIncarnation[];
  /** Whether the coordinator has run long enough to have received a heartbeat of every target. */
  readonly isComplete: boolean;
  /** Requests in flight by target, summed over all other entries. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Requests that wait for a slot, summed over all other entries. Missing from coordinators of earlier releases. */
  readonly waiting?: WaitingDemand;
  /**
   * Remaining work of these requests, in hundredths of a second of the target's time, in the order of the keys of
   * `inFlight`. Missing from coordinators of earlier releases, and while no other entry reports work.
   */
  readonly remainingCs?: readonly number[];
  /** Slowdown of slow targets, as a multiple of the usual time; 1 for targets that are not listed. */
  readonly paces: Readonly<Record<string, number>>;
  readonly liveEntries: number;
  /** Missing from coordinators of earlier releases. */
  readonly crashes?: CrashFindings;
  /** What targets have stated about their limits. Missing from coordinators of earlier releases. */
  readonly limits?: readonly TargetLimit[];
  /**
   * Evacuated failure domains; missing if the gateway has this revision or a later one, and from coordinators of earlier
   * releases.
   */
  readonly evacuated?: EvacuatedDomains;
  /** Targets that are cold, or were until just now. Missing from coordinators of earlier releases. */
  readonly cold?: readonly ColdTarget[];
  /** Coordinator in the gateway's failure domain; null if none is alive. */
  readonly nearest: string | null;
  /** Addresses of the coordinators' frame ports. */
  readonly coordinators: readonly string[];
}
