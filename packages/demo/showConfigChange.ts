import { runCommand } from "./runCommand";

interface ChangeResult {
  readonly outcome: string;
  readonly inForce: boolean;
  readonly revision: number;
}

/** Adds an exception through the command line. Throws unless it is accepted and in effect. */
export async function showConfigChange(
  commandFile: string,
  options: readonly string[],
  print: (text: string) => void,
): Promise<void> {
  const change = [
    "exception",
    "add",
    "--id",
    "demo-week",
    "--team",
    "demo",
    "--set",
    "requestClass=important",
  ];
  const reason = "Demonstration for the appraisal team";
  print(`clementinemux ${change.join(" ")} --expires-in 7d --reason "${reason}"`);
  const args = [...change, "--expires-in", "7d", "--reason", reason, "--json", ...options];
  const added = await runCommand(commandFile, args);
  if (added.code !== 0) {
    throw new Error(`the command ended with ${added.code ?? "a signal"}: ${added.stdout}${added.stderr}`);
  }
  const { outcome, inForce, revision } = JSON.parse(added.stdout) as ChangeResult;
  if (outcome !== "accepted" || !inForce) {
    throw new Error(`the exception is not accepted and in effect: ${added.stdout}`);
  }
  print(`${outcome} as revision ${revision}, in force everywhere`);
  const listed = await runCommand(commandFile, ["exception", "list", ...options]);
  if (listed.code !== 0 || !listed.stdout.includes(reason)) {
    throw new Error(`the exception is not listed: ${listed.stdout}${listed.stderr}`);
  }
  print(listed.stdout.trimEnd());
}
