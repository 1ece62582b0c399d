import type * as z from "zod";
import { buildId } from "@clementinemux/common/buildId";
import { createLogger } from "@clementinemux/logging/createLogger";
import { writeDiagnostic } from "@clementinemux/logging/writeDiagnostic";
import { loadSettings } from "./loadSettings";

/** Exit code for an invalid command line or invalid settings. */
const badSettingsExitCode = 78;

/**
 * Entry point of a daemon: `NAME --settings FILE [--check]`. With `--check`, the settings are validated and
 * the process exits without starting.
 */
export function startFromSettings<Schema extends z.ZodType>(
  name: string,
  schema: Schema,
  start: (settings: z.output<Schema>) => Promise<void>,
): void {
  const args = process.argv.slice(2);
  const file = args[args.indexOf("--settings") + 1];
  if (!args.includes("--settings") || file === undefined) {
    writeDiagnostic(`usage: ${name} --settings FILE [--check]\n`);
    process.exit(badSettingsExitCode);
  }
  loadSettings(file, schema).caseOf({
    Left: (errors) => {
      writeDiagnostic(`${errors.map(({ message }) => message).join("\n")}\n`);
      process.exit(badSettingsExitCode);
    },
    Right: (settings) => {
      if (args.includes("--check")) {
        process.stdout.write(`${file}: settings are valid\n`);
        return;
      }
      createLogger(name, {}).info({ build: buildId, node: process.version }, "starting");
      start(settings).catch((error: unknown) => {
        writeDiagnostic(`${name}: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exit(1);
      });
    },
  });
}
