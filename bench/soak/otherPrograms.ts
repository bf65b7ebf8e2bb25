/** Programs that are no nodes but listen on their ports: one never answers, one answers HTTP requests with anything. */
import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import { createServer, type Server } from "node:net";
import { otherProgramHosts } from "../../platform/testing/oddEntries";
import { portsPerPlace } from "../../platform/testing/platformFiles";

const odd = "[".repeat(2_000) + "]".repeat(2_000);
/** Answers to control queries; most have the shape of a result, with content that no node would send. */
const answers: readonly string[] = [
    "",
    "null",
    odd,
    '{"result":{"data":null}}',
    '{"result":{"data":5}}',
    '{"result":{"data":{}}}',
    `{"result":{"data":${odd}}}`,
    '{"result":{"data":{"viewId":1,"serial":"x","isCurrent":true,"batch":{}}}}',
    '{"result":{"data":{"viewId":"v","serial":1,"isCurrent":true,"batch":{"position":null,"records":[null]}}}}',
    '{"result":{"data":{"viewId":"v","serial":1,"isCurrent":true,"batch":{"position":{"era":0,"revision":1},"isFull":true,'
    + '"records":[{"id":1}],"removedIds":5,"gone":{}}}}}',
    '{"result":{"data":{"viewId":"v","serial":1,"isCurrent":true,"version":1e300,"table":{"version":1e300}}}}',
    '{"result":{"data":{"viewId":"v","serial":1,"isCurrent":true,"version":99,"table":{"version":99,"routes":[{}]}}}}',
    '{"result":{"data":{"table":{"version":98,"routes":7},"upstreams":"none"}}}',
];

/** Opens the listeners of both programs. */
export const openOtherPrograms = async (firstPort: number): Promise<readonly Server[]> => {
    let count = 0;
    const [silentHost, answeringHost] = otherProgramHosts;
    const ports = Array.from({ length: portsPerPlace }, (unused, index) => firstPort + index);
    const listeners = ports.flatMap(port => [
        { host: silentHost, port, server: createServer(socket => socket.on("error", () => socket.destroy())) },
        {
            host: answeringHost,
            port,
            server: createHttpServer((request, response) => {
                count += 1;
                response.writeHead(200, { "Content-Type": "application/json" }).end(answers[count % answers.length]);
            }),
        },
    ]);
    await Promise.all(listeners.map(async ({ host, port, server }) => {
        server.listen(port, host);
        await once(server, "listening");
    }));
    return listeners.map(({ server }) => server);
};
