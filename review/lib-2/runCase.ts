import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CaseRecord } from "./CaseRecord";

export interface CaseContext {
  readonly folder: string;
  readonly record: CaseRecord;
  /** False with TROUBLE=0: the same without the disruption. */
  readonly hasTrouble: boolean;
  /** Called with what ends processes and servers; all are ended when the case is over. */
  readonly onEnd: (end: () => Promise<void> | void) => void;
}

const held = 0;
const broken = 1;
const notRun = 2;
/** A case may take 120 s. */
const longestMs = 115_000;

/** Runs a case, which resolves with whether the rule held, and exits with the status of the case. */
export async function runCase(
  name: number | string,
  play: (context: CaseContext) => Promise<boolean>,
): Promise<never> {
  const folder = mkdtempSync(join(tmpdir(), `clementinemux-review-${name}-`));
  const record = new CaseRecord(`review/${name}/record.txt`);
  const hasTrouble = process.env.TROUBLE !== "0";
  const ends: (() => Promise<void> | void)[] = [];
  const finish = async (status: number): Promise<never> => {
    await Promise.all(ends.map(async (end) => end()));
    rmSync(folder, { recursive: true, force: true });
    process.exit(status);
  };
  const giveUp = (): void => {
    record.add("the case could not run to its end");
    void finish(notRun);
  };
  process.once("SIGTERM", giveUp);
  process.once("SIGINT", giveUp);
  setTimeout(giveUp, longestMs);
  try {
    const hasHeld = await play({ folder, record, hasTrouble, onEnd: (end) => ends.push(end) });
    record.add(hasHeld ? "the rule held" : "the rule was broken");
    return await finish(hasHeld ? held : broken);
  } catch (error) {
    record.add(`the case could not run: ${String(error)}`);
    process.stderr.write(`${String(error)}\n`);
    return finish(notRun);
  }
}
