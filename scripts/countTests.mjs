import { readFileSync } from "node:fs";

const results = JSON.parse(readFileSync(process.argv[2], "utf8"));
process.stdout.write(
    `${results.numPassedTests} passed, ${results.numFailedTests} failed, ${results.numPendingTests} skipped\n`,
);
