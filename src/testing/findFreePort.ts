import { createServer } from "node:net";

const lowestPort = 10_000;
const portsPerWorker = 2_000;
const host = "127.0.0.1";

const computeFirstPort = (): number => lowestPort + Number(process.env["JEST_WORKER_ID"] ?? 0) * portsPerWorker;

let nextPort = computeFirstPort();

const isFree = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/**
 * Finds a free port on loopback, below the range of ephemeral ports that the system uses for outgoing connections.
 * Each test worker has its own range, so that two workers never pick the same port.
 */
export const findFreePort = async (): Promise<number> => {
    const port = nextPort;
    nextPort += 1;
    if (nextPort >= computeFirstPort() + portsPerWorker) {
        nextPort = computeFirstPort();
    }
    return await isFree(port) ? port : findFreePort();
};

/** Finds `count` free ports on loopback in the range of this test worker. */
export const findFreePorts = async (count: number): Promise<readonly number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        ports.push(await findFreePort());
    }
    return ports;
};
