import { createServer, type Server, type Socket } from "node:net";
import { Attempt, type AttemptResult, sendAttempt } from "../../tasks/_lib/attempt";
import { AnswerBuffer } from "../_lib/answerBuffer";
import { ConnectionPool } from "./index";

let server: Server;
let pool: ConnectionPool;
let connectionCount: number;
let nowMs: number;

const startServer = async (respond: (socket: Socket) => void): Promise<void> => {
    connectionCount = 0;
    nowMs = 0;
    server = createServer(socket => {
        connectionCount += 1;
        socket.on("error", () => undefined);
        socket.on("data", () => respond(socket));
    });
    const port = await new Promise<number>(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as { port: number; }).port));
    });
    pool = new ConnectionPool({ host: "127.0.0.1", port }, { readNowMs: () => nowMs });
};

const sendRequest = (idempotent = true): Promise<AttemptResult & { readonly body: string; }> =>
    new Promise(resolve => {
        const buffer = new AnswerBuffer(() => {
            throw new Error("the answer must not be streamed");
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

const headWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const sendCompleteAnswer = (socket: Socket): void =>
    void socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

afterEach(() => {
    pool.abort();
    server.close();
});

describe("an answer without a length", () => {
    it("is complete when its connection is closed", async () => {
        await startServer(socket => socket.end(`${headWithoutLength}whole`));
        expect(await sendRequest()).toMatchObject({ kind: "answered", body: "whole" });
    });

    it("is incomplete when its connection is reset later", async () => {
        await startServer(socket => {
            socket.write(`${headWithoutLength}part`);
            setTimeout(() => socket.resetAndDestroy(), 30);
        });
        expect((await sendRequest()).kind).toBe("incomplete");
    });

    it("is incomplete when the reset arrives together with the data", async () => {
        await startServer(socket => socket.write(`${headWithoutLength}part`, () => socket.resetAndDestroy()));
        const results = await Promise.all(Array.from({ length: 20 }, () => sendRequest()));
        expect(results.map(({ kind }) => kind).filter(kind => kind !== "incomplete")).toEqual([]);
    });
});

describe("ConnectionPool", () => {
    it("reuses an idle connection", async () => {
        await startServer(sendCompleteAnswer);
        await sendRequest();
        await sendRequest();
        expect(connectionCount).toBe(1);
    });

    it("opens a new connection for a non-idempotent request if the idle one may be about to close", async () => {
        await startServer(sendCompleteAnswer);
        await sendRequest();
        nowMs = 1_500;
        await sendRequest(false);
        expect(connectionCount).toBe(2);
        await sendRequest(false);
        expect(connectionCount).toBe(2);
    });

    it("opens a new connection for a non-idempotent request after a foreign answer", async () => {
        await startServer(sendCompleteAnswer);
        await sendRequest();
        pool.recordForeignAnswer();
        await sendRequest();
        expect(connectionCount).toBe(1);
        await sendRequest(false);
        expect(connectionCount).toBe(2);
    });

    it("reports a request as unsent if no connection can be opened", async () => {
        await startServer(sendCompleteAnswer);
        await new Promise(resolve => server.close(resolve));
        expect(await sendRequest()).toMatchObject({ kind: "unsent", cause: "connection" });
    });
});
