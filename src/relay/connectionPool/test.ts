import { createServer, type Server, type Socket } from "node:net";
import { Attempt, type AttemptResult, sendAttempt } from "../../tasks/_lib/attempt";
import { AnswerBuffer } from "../_lib/answerBuffer";
import { ConnectionPool } from "./index";

let server: Server;
let pool: ConnectionPool;
let connections: number;
let nowMs: number;

const startServer = async (answer: (socket: Socket) => void): Promise<void> => {
    connections = 0;
    nowMs = 0;
    server = createServer(socket => {
        connections += 1;
        socket.on("error", () => undefined);
        socket.on("data", () => answer(socket));
    });
    const port = await new Promise<number>(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as { port: number; }).port));
    });
    pool = new ConnectionPool({ host: "127.0.0.1", port }, { readNowMs: () => nowMs });
};

const sendRequest = (idempotent = true): Promise<AttemptResult & { readonly body: string; }> =>
    new Promise(resolve => {
        const buffer = new AnswerBuffer(() => {
            throw new Error("not expected");
        });
        const attempt = new Attempt("GET", {
            startAnswer: head => {
                buffer.start(head);
                return buffer;
            },
            finish: result => resolve({ ...result, body: String(buffer.takeBody() ?? "") }),
        }, true);
        sendAttempt(pool, { method: "GET", path: "/", rawHeaders: [], body: undefined, idempotent }, attempt);
    });

const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const sendWhole = (socket: Socket): void => void socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

afterEach(() => {
    pool.abort();
    server.close();
});

describe("an answer without a length", () => {
    it("is whole when its connection is closed", async () => {
        await startServer(socket => socket.end(`${unframedHead}whole`));
        expect(await sendRequest()).toMatchObject({ kind: "answered", body: "whole" });
    });

    it("is not whole when its connection is reset later", async () => {
        await startServer(socket => {
            socket.write(`${unframedHead}part`);
            setTimeout(() => socket.resetAndDestroy(), 30);
        });
        expect((await sendRequest()).kind).toBe("incomplete");
    });

    it("is not whole when the reset arrives together with the data", async () => {
        await startServer(socket => socket.write(`${unframedHead}part`, () => socket.resetAndDestroy()));
        const results = await Promise.all(Array.from({ length: 20 }, () => sendRequest()));
        expect(results.map(({ kind }) => kind).filter(kind => kind !== "incomplete")).toEqual([]);
    });
});

describe("ConnectionPool", () => {
    it("uses a connection again", async () => {
        await startServer(sendWhole);
        await sendRequest();
        await sendRequest();
        expect(connections).toBe(1);
    });

    it("opens a new connection for what must not run twice when the idle one may be about to be closed", async () => {
        await startServer(sendWhole);
        await sendRequest();
        nowMs = 1_500;
        await sendRequest(false);
        expect(connections).toBe(2);
        await sendRequest(false);
        expect(connections).toBe(2);
    });

    it("does not trust connections with what must not run twice after a foreign answer", async () => {
        await startServer(sendWhole);
        await sendRequest();
        pool.recordForeignAnswer();
        await sendRequest();
        expect(connections).toBe(1);
        await sendRequest(false);
        expect(connections).toBe(2);
    });

    it("says that nothing was sent when no connection comes about", async () => {
        await startServer(sendWhole);
        await new Promise(resolve => server.close(resolve));
        expect(await sendRequest()).toMatchObject({ kind: "unsent", cause: "connection" });
    });
});
