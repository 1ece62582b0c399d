import { setTimeout as delay } from "node:timers/promises";

const fullDiskRetryMs = 200;

/** Repeats a write until the disk has space for it. `onTried` is told whether the disk is full, and returns whether to go on. */
export async function retryWhileFull(
  write: () => Promise<void>,
  onTried: (isFull: boolean) => boolean = () => true,
): Promise<void> {
  for (;;) {
    try {
      await write();
      onTried(false);
      return;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOSPC" || !onTried(true)) {
        throw error;
      }
      await delay(fullDiskRetryMs);
    }
  }
}
