import { spawn } from "node:child_process";

interface CommandResult {
  /** Exit code; null if a signal ended the program. */
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a bundled program and resolves with its exit code and output once it has ended. */
export function runCommand(file: string, args: readonly string[]): Promise<CommandResult> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [file, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ROARR_LOG: "false" },
    });
    const output = { stdout: "", stderr: "" };
    child.stdout.on("data", (chunk: Buffer) => (output.stdout += chunk.toString("utf8")));
    child.stderr.on("data", (chunk: Buffer) => (output.stderr += chunk.toString("utf8")));
    child.once("error", reject);
    child.once("close", (code) => {
      resolve({ code, ...output });
    });
  });
}
