// Generates the table in docs/result-codes.md from the code. A test checks that both match.
import { readFileSync, writeFileSync } from 'node:fs'
import { renderResultCodeTable } from '@siskinbeam/result-codes/renderResultCodeTable'

const page = new URL('../docs/result-codes.md', import.meta.url)
const text = readFileSync(page, 'utf8')
const start = text.indexOf('| code |')
writeFileSync(page, text.slice(0, start) + renderResultCodeTable())
