import type { PermitAsk } from "./PermitAsk";
import type { TargetLimit } from "./TargetLimit";

/** A gateway asks for permits for its requests that arrived together. */
export interface PermitRequest {
  readonly asks: readonly PermitAsk[];
  /** What the gateway knows of the targets in `asks`, since it may know more than the leader. */
  readonly limits: readonly TargetLimit[];
  /** Whether a coordinator has passed the request on to the one that it takes for the leader. */
  readonly isForwarded: boolean;
}
