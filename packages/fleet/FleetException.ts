import type { ExceptionOverride } from "./ExceptionOverride";
import type { ExceptionSelector } from "./ExceptionSelector";

/** A listed deviation from the defaults. */
export interface FleetException {
  readonly id: string;
  /** Required; shown wherever the exception has an effect. */
  readonly reason: string;
  readonly author: string;
  readonly createdAtMs: number;
  /** Judged by the control leader's clock only; null never expires. */
  readonly expiresAtMs: number | null;
  readonly selector: ExceptionSelector;
  readonly override: ExceptionOverride;
}
