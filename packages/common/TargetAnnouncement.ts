import type { TargetKind } from "./TargetKind";
import type { TargetRole } from "./TargetRole";

/** What an agent announces about its target. */
export interface TargetAnnouncement {
  /** Stable name of the target. */
  readonly target: string;
  /** Identifies the start of the agent; sorts after every earlier incarnation of the same target. */
  readonly incarnation: string;
  /** `host:port` of the agent's HTTP listener, through which all requests to the target go. */
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly kind: TargetKind;
  /** Models served by an engine; empty for a service. */
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly version: string;
  readonly role: TargetRole;
  /** Service name; empty for an engine. */
  readonly service: string;
  /** Rank group; empty for a target that runs alone. */
  readonly group: string;
  /** Rank within the group; 0 for a target that runs alone. */
  readonly rank: number;
  /** Whether the engine itself rejects orders with an old fencing token. */
  readonly checksFencing: boolean;
}
