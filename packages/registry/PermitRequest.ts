import type { PermitAsk } from "./PermitAsk";
import type { TargetLimit } from "./TargetLimit";

/** A gateway asks for permits for its requests that arrived together. */
export interface PermitRequest {
  readonly asks: readonly PermitAsk[];
  /** What the gateway knows of the targets in `asks`, since it may know more than the leader. */
  readonly limits: readonly TargetLimit[];
  /**
   * Requests per second that each cold target in `asks` may get, as far as the gateway knows. Missing from gateways of earlier
   * releases.
   */
  readonly coldRatesPerS?: Readonly<Record<string, number>>;
  /** Whether a coordinator has passed the request on to the one that it takes for the leader. */
  readonly isForwarded: boolean;
}
