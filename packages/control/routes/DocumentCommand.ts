import type { TargetEnd } from "../ends/TargetEnd";
import type { EvacuationCommand } from "../evacuation/EvacuationCommand";

/**
 * Command of the `routes` log: a document in its encoded form, ends of targets, a change of the evacuations, or failure domains
 * that were heard of.
 */
export interface DocumentCommand {
  /** 0 in commands without a document, which earlier releases therefore ignore. */
  readonly version: number;
  readonly bytes: Uint8Array;
  /** Missing from commands with a document, and from earlier releases. */
  readonly ends?: readonly TargetEnd[];
  /** Missing from other commands, and from earlier releases. */
  readonly evacuation?: EvacuationCommand;
  /** Missing from other commands, and from earlier releases. */
  readonly failureDomains?: readonly string[];
}
