import type { EvacuationState } from "./EvacuationState";

/** Command of the `routes` log that replaces the evacuation state, if the revision is still `baseRevision`. */
export interface EvacuationCommand {
  readonly baseRevision: number;
  readonly state: EvacuationState;
}
