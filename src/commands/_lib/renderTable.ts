import Table from "cli-table3";

const borderCharacters = {
    top: "",
    "top-mid": "",
    "top-left": "",
    "top-right": "",
    bottom: "",
    "bottom-mid": "",
    "bottom-left": "",
    "bottom-right": "",
    left: "",
    "left-mid": "",
    mid: "",
    "mid-mid": "",
    right: "",
    "right-mid": "",
    middle: "  ",
};

/** Renders rows as a table with aligned columns and no borders. */
export const renderTable = (headings: readonly string[], rows: readonly (readonly (string | number)[])[]): string => {
    const table = new Table({
        head: [...headings],
        chars: borderCharacters,
        style: { head: [], border: [], "padding-left": 0, "padding-right": 0 },
    });
    rows.forEach(row => table.push([...row]));
    const lines = table.toString().split("\n").map(line => line.trimEnd());
    return `${lines.join("\n")}\n`;
};
