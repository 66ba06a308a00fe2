#!/usr/bin/env node
// The executable `siskinbeam`. Receives signals before it loads the program, which takes longer than anything else at the start.
import { createSignalQueue } from '@siskinbeam/processes/createSignalQueue'

const signals = createSignalQueue(process)
const { runProgram } = await import('./runProgram.js')
await runProgram(signals)
