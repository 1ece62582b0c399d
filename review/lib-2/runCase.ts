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

/** Runs a case, which resolves with whether the rule held, and exits with the status of the case. */
export async function runCase(
  number: number,
  play: (context: CaseContext) => Promise<boolean>,
): Promise<never> {
  const folder = mkdtempSync(join(tmpdir(), `clementinemux-review-${number}-`));
  const record = new CaseRecord(`review/${number}/record.txt`);
  const hasTrouble = process.env.TROUBLE !== "0";
  const ends: (() => Promise<void> | void)[] = [];
  let status = notRun;
  try {
    const hasHeld = await play({ folder, record, hasTrouble, onEnd: (end) => ends.push(end) });
    status = hasHeld ? held : broken;
    record.add(hasHeld ? "the rule held" : "the rule was broken");
  } catch (error) {
    record.add(`the case could not run: ${String(error)}`);
    process.stderr.write(`${String(error)}\n`);
  }
  await Promise.all(ends.map(async (end) => end()));
  rmSync(folder, { recursive: true, force: true });
  process.exit(status);
}
