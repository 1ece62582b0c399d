import { runPolicyBench } from "@clementinemux/bench/policy/runPolicyBench";
import { runRetryStorm } from "@clementinemux/bench/policy/runRetryStorm";
import { runSubsetBench } from "@clementinemux/bench/policy/runSubsetBench";

const seedArgument = process.argv.find((argument) => argument.startsWith("--seed="));
const seed = Number(seedArgument?.slice("--seed=".length) ?? 1);
const parts: Readonly<Record<string, () => unknown>> = {
  subset: runSubsetBench,
  storm: () => runRetryStorm(seed),
};
const only = process.argv.slice(2).filter((argument) => !argument.startsWith("--"));
const part = parts[only[0] ?? ""];
console.log(JSON.stringify(part === undefined ? runPolicyBench({ seed, only }) : part(), null, 2));
