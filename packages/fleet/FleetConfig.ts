import type { FleetDefaults } from "./FleetDefaults";
import type { FleetException } from "./FleetException";
import type { TargetDrain } from "./TargetDrain";

/** Configuration of the fleet at one revision. */
export interface FleetConfig {
  readonly revision: number;
  readonly defaults: FleetDefaults;
  readonly exceptions: readonly FleetException[];
  /** Drained targets by name. */
  readonly drains: Readonly<Record<string, TargetDrain>>;
}
