import { Fleet } from "./Fleet";
import { Recorder } from "./Recorder";

interface CaseContext {
  readonly fleet: Fleet;
  readonly recorder: Recorder;
  /** Whether the case plays its disruption. */
  readonly hasTrouble: boolean;
}

const brokenExitCode = 1;
const failedExitCode = 2;
const longestMs = 110_000;

/**
 * Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. `play` resolves with whether the rule
 * held. The first argument of the program is the folder of the case.
 */
export async function runCase(play: (context: CaseContext) => Promise<boolean>): Promise<void> {
  const hasTrouble = process.env.TROUBLE !== "0";
  const recorder = new Recorder();
  let code = failedExitCode;
  let fleet: Fleet | null = null;
  // `timeout` in run.sh ends the case in this way.
  process.once("SIGTERM", () => {
    void (fleet?.stop() ?? Promise.resolve()).then(() => process.exit(failedExitCode));
  });
  try {
    fleet = await Fleet.start(recorder);
    const context = { fleet, recorder, hasTrouble };
    const timeout = new Promise<never>((_, reject) => {
      setTimeout(() => {
        reject(new Error("the case took too long"));
      }, longestMs).unref();
    });
    const isKept = await Promise.race([play(context), timeout]);
    recorder.note(isKept ? "the rule held" : "the rule was broken");
    code = isKept ? 0 : brokenExitCode;
  } catch (error) {
    recorder.note(`the case could not run: ${String(error)}`);
  }
  await fleet?.stop();
  recorder.write(`${process.argv[2] ?? "."}/record.txt`);
  process.exit(code);
}
