import { runPolicyBench } from "@clementinemux/bench/policy/runPolicyBench";

const only = process.argv.slice(2).filter((argument) => !argument.startsWith("--"));
console.log(JSON.stringify(runPolicyBench({ only }), null, 2));
