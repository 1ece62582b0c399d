import type { Logger } from "roarr";

/** How a program stops. */
export interface StopHandler {
  readonly logger: Logger;
  /** Called once. Resolves with the exit code when all that was accepted is complete. */
  readonly stop: () => Promise<number>;
}
