/** Serves the metrics, and the readiness probe that the platform sends. */
import { type RequestListener } from "node:http";
import { type Registry } from "prom-client";

/** Path and result of the readiness probe, and the registry of the served metrics. */
export interface AdminDependencies {
    readonly readinessPath: string;
    readonly isReady: () => boolean;
    readonly registry: Registry;
}

const metricsPath = "/metrics";
const okStatus = 200;
const notFoundStatus = 404;
const unavailableStatus = 503;

/** Creates the handler of the admin listener; it answers 503 to the readiness probe while the node is not ready. */
export const createAdminHandler =
    ({ readinessPath, isReady, registry }: AdminDependencies): RequestListener => (request, response) => {
        if (request.url === readinessPath) {
            response.writeHead(isReady() ? okStatus : unavailableStatus).end();
            return;
        }
        if (request.url !== metricsPath) {
            response.writeHead(notFoundStatus).end();
            return;
        }
        void registry.metrics().then(text => {
            response.writeHead(okStatus, { "Content-Type": registry.contentType }).end(text);
        });
    };
