import { runMembershipBench } from "@clementinemux/bench/membership/runMembershipBench";

process.stdout.write(`${JSON.stringify(runMembershipBench(), null, 2)}\n`);
