// Fakes of the users' platform for tests: its store and its executors, served over HTTP on
// loopback. They implement the part of the platform's published protocol that the adapter uses.
#pragma once

#include "executor_standin.h"
#include "store_standin.h"
