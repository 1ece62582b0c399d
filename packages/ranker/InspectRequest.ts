import type { InspectionPart } from "./InspectionPart";

/** Question of a lead for the state of a rank. */
export interface InspectRequest {
  /** Term of the lead. Named as in earlier releases, whose coordinators may ask during an upgrade. */
  readonly fence: number;
  readonly part: InspectionPart;
  /** Answer whose counts the asker holds; null for none. */
  readonly countsHeld: number | null;
}
