import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { awaitUntil } from "../../testing/startRelayFleet";
import { encodeFrame, type Frame, frameKinds } from "./frames";
import { FrameSocket } from "./frameSocket";

let server: Server;
let client: Socket;
let accepted: Promise<Socket>;

beforeEach(async () => {
    server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    accepted = once(server, "connection").then(([socket]: Socket[]) => socket!);
    client = connect((server.address() as AddressInfo).port, "127.0.0.1");
});

afterEach(() => {
    client.destroy();
    void accepted.then(socket => socket.destroy());
    server.close();
});

describe("FrameSocket", () => {
    // Guards against requests that wait until their deadline because another frame of the same bytes made a handler throw.
    it("handles the frames behind one whose handler throws", async () => {
        const socket = await accepted;
        const received: Frame[] = [];
        const failures: string[] = [];
        new FrameSocket(socket, {
            onFrame: frame => {
                received.push(frame);
                if (frame[1] === 2) {
                    throw new Error("thrown by a handler");
                }
            },
            onFrameFailed: ({ message }) => failures.push(message),
            onClose: () => undefined,
        });
        client.write(Buffer.concat([1, 2, 3].map(id => encodeFrame([frameKinds.ping, id]))));
        await awaitUntil(() => received.length === 3);
        expect(received.map(([, id]) => id)).toEqual([1, 2, 3]);
        expect(failures).toEqual(["thrown by a handler"]);
    }, 5_000);
});
