import type { TargetEnd } from "../ends/TargetEnd";

/** Command of the `routes` log: a document in its encoded form, or ends of targets. */
export interface DocumentCommand {
  /** 0 in commands without a document, which earlier releases therefore ignore. */
  readonly version: number;
  readonly bytes: Uint8Array;
  /** Missing from commands with a document, and from earlier releases. */
  readonly ends?: readonly TargetEnd[];
}
