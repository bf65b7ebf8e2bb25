/** Runs a node until SIGTERM or SIGINT. */
import { setFlagsFromString } from "node:v8";
import { createLogger } from "../../_lib/createLogger";
import { parseSettings } from "../../settings/parseSettings";
import { PomelovalveNode } from "../../tasks/node";
import { createFailure, createSuccess } from "../_lib/results";
import { readTextFile } from "../_lib/textFile";
import { type CommandResult } from "../types";

const awaitStopSignal = (): Promise<string> =>
    new Promise(resolve => {
        ["SIGTERM", "SIGINT"].forEach(signal => process.on(signal, () => resolve(signal)));
    });

/**
 * Keeps the young generation of the heap at its initial size. A larger one would hold tens of megabytes of garbage from
 * parsing large configurations and would save little collection work, since calls are short.
 */
const applyHeapFlags = (): void => setFlagsFromString("--semi-space-growth-factor=1");

/** Runs a node with a settings file; resolves after a graceful shutdown, or with faults if the node can't start. */
export const runNode = async (settingsFile: string): Promise<CommandResult> => {
    const text = readTextFile(settingsFile);
    const checked = text.ok ? parseSettings(text.value) : text;
    if (!checked.ok) {
        return createFailure(settingsFile, checked.faults);
    }
    applyHeapFlags();
    const settings = checked.value;
    const { endpoint, service, failureDomain } = settings;
    const logger = createLogger(settings.logLevel, { endpoint, service, domain: failureDomain });
    const node = new PomelovalveNode(settings, logger);
    try {
        await node.start();
    }
    catch (error) {
        return createFailure(settingsFile, [{ path: "$.listen", message: (error as Error).message }]);
    }
    logger.info("node-started");
    const signal = await awaitStopSignal();
    logger.info({ signal }, "stop-requested");
    await node.drain();
    logger.info("node-stopped");
    return createSuccess("");
};
