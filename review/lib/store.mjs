/** Stand-in for the platform's metadata store: reads, pages and watches, as PROTOCOL.md describes them. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

const pageItems = 500;

export class Store {
    #items = new Map();
    #events = [];
    #revision = 1;
    #watches = new Set();
    #server = createServer((request, response) => this.#handle(request, response));

    open(host, port) {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
    }

    close() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    /** Writes an item, or removes it if the value is undefined; returns the time of the acknowledgement. */
    write(key, value) {
        this.#revision += 1;
        const created = this.#items.get(key)?.created_rev ?? this.#revision;
        if (value === undefined) {
            this.#items.delete(key);
            this.#events.push({ key, revision: this.#revision, tombstone: true });
        }
        else {
            const text = Buffer.from(JSON.stringify(value)).toString("base64");
            const item = { key, value: text, revision: this.#revision, created_rev: created, lease: 0 };
            this.#items.set(key, item);
            this.#events.push(item);
        }
        [...this.#watches].forEach(check => check());
        return Date.now();
    }

    #handle(request, response) {
        const url = new URL(request.url, "http://store");
        const prefix = url.searchParams.get("prefix") ?? "";
        if (url.pathname === "/api/kv-key") {
            const item = this.#items.get(url.searchParams.get("key"));
            send(response, item ? 200 : 404, { ...item, current_rev: this.#revision });
        }
        else if (url.pathname === "/api/kv-range") {
            const after = url.searchParams.get("after") ?? "";
            const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
            const items = keys.slice(0, pageItems).map(key => this.#items.get(key));
            send(response, 200, { items, more_pages: keys.length > pageItems, current_rev: this.#revision });
        }
        else if (url.pathname === "/api/kv-watch") {
            this.#watch(
                prefix,
                Number(url.searchParams.get("after")),
                Number(url.searchParams.get("wait_ms")),
                response,
            );
        }
        else {
            send(response, 404, {});
        }
    }

    #watch(prefix, after, waitMs, response) {
        const finish = events => {
            clearTimeout(timer);
            this.#watches.delete(check);
            send(response, 200, { events, current_rev: this.#revision });
        };
        const check = () => {
            const events = this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            if (events.length > 0) {
                finish(events);
            }
        };
        const timer = setTimeout(() => finish([]), Math.min(30_000, waitMs));
        this.#watches.add(check);
        response.once("close", () => {
            clearTimeout(timer);
            this.#watches.delete(check);
        });
        check();
    }
}

const send = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
};
