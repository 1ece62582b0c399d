import { runPolicyBench } from "@clementinemux/bench/policy/runPolicyBench";
import { runRetryStorm } from "@clementinemux/bench/policy/runRetryStorm";
import { runSubsetBench } from "@clementinemux/bench/policy/runSubsetBench";

const parts: Readonly<Record<string, () => unknown>> = {
  subset: runSubsetBench,
  storm: () => runRetryStorm(1),
};
const only = process.argv.slice(2).filter((argument) => !argument.startsWith("--"));
const part = parts[only[0] ?? ""];
console.log(JSON.stringify(part === undefined ? runPolicyBench({ only }) : part(), null, 2));
