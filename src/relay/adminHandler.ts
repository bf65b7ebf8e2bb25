/** Serves the readiness probe of the platform and the metrics. */
import { type RequestListener } from "node:http";
import { type Registry } from "prom-client";

/** Readiness check and metrics that the admin handler serves. */
export interface AdminDependencies {
    readonly readinessPath: string;
    readonly isReady: () => boolean;
    readonly registry: Registry;
}

const metricsPath = "/metrics";
const okStatus = 200;
const notFoundStatus = 404;
const unavailableStatus = 503;

/** Creates the handler of the admin listener. */
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
