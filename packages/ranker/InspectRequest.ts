import type { InspectionPart } from "./InspectionPart";

/** Request of a leader for the state of a rank. */
export interface InspectRequest {
  /**
   * Term of the leader. The field keeps the name that earlier releases use, since their coordinators may send
   * requests during an upgrade.
   */
  readonly fence: number;
  readonly part: InspectionPart;
  /** `id` of the response whose counts the client holds; null for none. */
  readonly countsHeld: number | null;
  /** Whether the client reads compressed counts; missing in requests of earlier releases, which do not. */
  readonly acceptsDeflated?: boolean;
}
