import { parseArgs } from "node:util";
import { runLoad } from "@clementinemux/standins/load/runLoad";

const { values } = parseArgs({
  options: {
    url: { type: "string" },
    model: { type: "string", default: "demo" },
    token: { type: "string", default: "" },
    rate: { type: "string", default: "10" },
    seconds: { type: "string", default: "10" },
    tokens: { type: "string", default: "100" },
    prompt: { type: "string", default: "200" },
    seed: { type: "string", default: "1" },
    direct: { type: "boolean", default: false },
  },
});

if (values.url === undefined) {
  process.stderr.write(
    "usage: load --url URL [--rate REQUESTS_PER_S] [--seconds N] [--tokens N] [--prompt CHARACTERS] " +
      "[--model NAME] [--token BEARER] [--seed N] [--direct]\n",
  );
  process.exit(78);
}
const report = await runLoad({
  url: values.url,
  model: values.model,
  token: values.token,
  requestsPerS: Number(values.rate),
  durationMs: Number(values.seconds) * 1000,
  promptCharacters: Number(values.prompt),
  maxTokenCount: Number(values.tokens),
  seed: Number(values.seed),
  direct: values.direct,
});
const { firstToken, tokenGap, failures, ...counts } = report;
const getMs = (microseconds: number): number => microseconds / 1000;
process.stdout.write(
  `${JSON.stringify({
    ...counts,
    failures: Object.fromEntries(failures),
    firstTokenP50Ms: getMs(firstToken.getValueAtPercentile(50)),
    firstTokenP95Ms: getMs(firstToken.getValueAtPercentile(95)),
    firstTokenP99Ms: getMs(firstToken.getValueAtPercentile(99)),
    tokenGapP50Ms: getMs(tokenGap.getValueAtPercentile(50)),
    tokenGapP95Ms: getMs(tokenGap.getValueAtPercentile(95)),
    tokenGapP99Ms: getMs(tokenGap.getValueAtPercentile(99)),
  })}\n`,
);
process.exitCode = report.wrongCount === 0 ? 0 : 1;
