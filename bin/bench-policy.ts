import { runPolicyBench } from "@clementinemux/bench/policy/runPolicyBench";
import { runSubsetBench } from "@clementinemux/bench/policy/runSubsetBench";

const only = process.argv.slice(2).filter((argument) => !argument.startsWith("--"));
const result = only.includes("subset") ? { subset: runSubsetBench() } : runPolicyBench({ only });
console.log(JSON.stringify(result, null, 2));
