#!/usr/bin/env node
// npm links a binary at installation, before the build has made lib, so the link needs this file.
import '../lib/src/runEntryHost.js'
