import t from "tap";
import { parseEngineLoad } from "@clementinemux/agent/parseEngineLoad";

// Guards against an engine without measurements that looks full, so that its requests wait forever.
t.test("report without a batch limit is invalid", (t) => {
  t.equal(parseEngineLoad("{}"), null);
  t.equal(parseEngineLoad('{"batchLimitCount":0}'), null);
  t.match(parseEngineLoad('{"batchLimitCount":8,"runningCount":-1}'), {
    batchLimitCount: 8,
    runningCount: 0,
  });
  t.end();
});
