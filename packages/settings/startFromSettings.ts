import type * as z from "zod";
import { buildId } from "@clementinemux/common/buildId";
import { getProcessSignals } from "@clementinemux/lifecycle/getProcessSignals";
import { createLogger } from "@clementinemux/logging/createLogger";
import { writeDiagnostic } from "@clementinemux/logging/writeDiagnostic";
import { SettingsFile } from "./SettingsFile";
import { describeErrors } from "./describeErrors";

/** Exit code for an invalid command line or invalid settings. */
const badSettingsExitCode = 78;

/**
 * Entry point of a daemon: `NAME --settings FILE [--check]`. Settings that are not valid are read again for a while, since
 * they may be being written. With `--check`, they are read once and the process exits without starting.
 */
export function startFromSettings<Schema extends z.ZodType>(
  name: string,
  schema: Schema,
  start: (settings: z.output<Schema>) => Promise<void>,
): void {
  const args = process.argv.slice(2);
  const path = args[args.indexOf("--settings") + 1];
  if (!args.includes("--settings") || path === undefined) {
    writeDiagnostic(`usage: ${name} --settings FILE [--check]\n`);
    process.exit(badSettingsExitCode);
  }
  const file = new SettingsFile(path, schema);
  const isCheck = args.includes("--check");
  const run = (settings: z.output<Schema>): void => {
    if (isCheck) {
      writeDiagnostic(`${path}: settings are valid\n`, process.stdout);
      return;
    }
    createLogger(name, {}).info({ build: buildId, node: process.version }, "starting");
    start(settings).catch((error: unknown) => {
      writeDiagnostic(`${name}: ${error instanceof Error ? error.message : String(error)}\n`);
      process.exit(1);
    });
  };
  file.read().caseOf({
    Left: (errors) => {
      if (isCheck) {
        refuse(describeErrors(errors));
      }
      void waitForSettings(name, file, run);
    },
    Right: run,
  });
}

/** Reads the file until it is valid. A signal to stop ends the process. */
async function waitForSettings<Schema extends z.ZodType>(
  name: string,
  file: SettingsFile<Schema>,
  run: (settings: z.output<Schema>) => void,
): Promise<void> {
  const stop = (): Promise<number> => Promise.resolve(0);
  await getProcessSignals().setHandler({ logger: createLogger(name, {}), stop });
  const result = await file.readUntilValid((faults) => {
    writeDiagnostic(`${faults}\n${name}: waiting for valid settings\n`);
  });
  result.caseOf({
    Left: (errors) => {
      refuse(describeErrors(errors));
    },
    Right: run,
  });
}

function refuse(faults: string): never {
  writeDiagnostic(`${faults}\n`);
  process.exit(badSettingsExitCode);
}
