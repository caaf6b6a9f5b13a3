#include "groups/MemberOrder.h"
