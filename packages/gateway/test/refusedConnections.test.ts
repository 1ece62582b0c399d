import t from "tap";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Guards against a 503 while a target is free, since others that have just crashed used up the attempts.
t.test("targets that refuse connections do not use up the attempts of a request", async (t) => {
  const targets = [1, 2, 3, 4, 5, 6].map(
    () => new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok"))),
  );
  const { call, stop } = await startGateway(createDocument(1, [{ attempts: 2 }]), targets);
  targets.slice(0, 5).forEach((target) => {
    target.close();
  });
  for (let index = 0; index < 5; index += 1) {
    t.equal((await call({ path: "/p0/" }, `r${index}`)).status, 200);
  }
  await stop();
});
