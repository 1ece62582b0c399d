import type { ExceptionOverride } from "./ExceptionOverride";
import type { ExceptionSelector } from "./ExceptionSelector";

/** An override of the defaults for the requests or groups that the selector matches. */
export interface FleetException {
  readonly id: string;
  /** Required; shown wherever the exception takes effect. */
  readonly reason: string;
  readonly author: string;
  readonly createdAtMs: number;
  /** Compared only with the clock of the control leader; null if the exception never expires. */
  readonly expiresAtMs: number | null;
  readonly selector: ExceptionSelector;
  readonly override: ExceptionOverride;
}
