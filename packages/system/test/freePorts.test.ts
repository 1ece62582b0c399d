import { createServer } from "node:net";
import t from "tap";
import { findFreePorts } from "@clementinemux/system/findFreePorts";

const firstPort = 10_000;
const blockSize = 200;
const blockCount = 110;

// Guards against two test processes that take the same port: each found it free before the other's daemon listened.
t.test("ports of a block that another process has taken are not used", async (t) => {
  const blockStart = firstPort + (process.pid % blockCount) * blockSize;
  const other = createServer();
  await new Promise<void>((resolve, reject) => {
    // A process of another program that listens there has taken the block as well.
    other.on("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") {
        resolve();
      } else {
        reject(error);
      }
    });
    other.listen(blockStart, "127.0.0.1", resolve);
  });
  t.teardown(() => other.close());
  const ports = await findFreePorts(blockSize + 5);
  t.equal(new Set(ports).size, blockSize + 5);
  t.ok(ports.every((port) => port < blockStart || port >= blockStart + blockSize));
});
