/** Runs a stand-in: `standins platform PORT | relay PORT TARGET | upstream CONFIG | callers CONFIG RESULT`. */
import { readFileSync, writeFileSync } from "node:fs";
import { Callers } from "./callers";
import { PlatformStandIn } from "./platform";
import { startRelay } from "./relay";
import { type CallersConfig, type UpstreamConfig } from "./types";
import { UpstreamStandIn } from "./upstream";

const loadConfig = <Config>(file: string): Config => JSON.parse(readFileSync(file, "utf8")) as Config;

const runStandIn = async (kind: string | undefined, firstArgument: string, secondArgument: string): Promise<void> => {
    if (kind === "platform") {
        await new PlatformStandIn().start(Number(firstArgument));
        return;
    }
    if (kind === "relay") {
        await startRelay(Number(firstArgument), Number(secondArgument));
        return;
    }
    if (kind === "upstream") {
        await new UpstreamStandIn(loadConfig<UpstreamConfig>(firstArgument)).start();
        return;
    }
    if (kind === "callers") {
        const records = await new Callers(loadConfig<CallersConfig>(firstArgument)).run();
        writeFileSync(secondArgument, JSON.stringify(records));
        return;
    }
    process.stderr.write(
        "usage: standins platform PORT | relay PORT TARGET | upstream CONFIG | callers CONFIG RESULT\n",
    );
    process.exitCode = 2;
};

process.once("SIGTERM", () => process.exit(0));
void runStandIn(process.argv[2], process.argv[3] ?? "", process.argv[4] ?? "");
